"""Usual responses of a route, and how long a request waited for its response.

Responses never pass through an instance. It sees a client's acknowledgements: when they come, and
how many bytes they cover. What a response took beyond the usual service time is its wait in the
target's queue.
"""

__all__ = ["SEGMENT_BYTES", "ResponseProfile"]

# Most data that one packet carries. A client may delay the acknowledgement of a single packet, so
# responses of one packet and longer ones have service times of their own.
SEGMENT_BYTES = 1_200
# A response below this share of the usual size is an error: the target shed the request.
SHED_SIZE_SHARE = 0.25
# Responses over which the usual size is averaged.
SIZE_SAMPLES = 100
# The service time is that of the fastest responses, as these have not queued. It follows a faster
# response by a share of the difference, and rises slowly: by 1% in 20 responses, or by less than
# 25% in 12 s of overload at 35 responses/s, in which every response is slow.
FALL_SHARE = 0.05
RISE_PER_RESPONSE = 0.0005


class ResponseProfile:
    """Size and service time of the responses of one route from one service.

    Attributes:
        priority: Priority of the route.
        objective_s: Latency objective of the route in seconds.
        served_at: Clock time in seconds of the latest response.
    """

    __slots__ = ("_count", "_long_s", "_short_s", "_size", "objective_s", "priority", "served_at")

    def __init__(self) -> None:
        self.priority = 0
        self.objective_s = 0.0
        self.served_at = float("-inf")
        self._count = 0
        self._size = 0.0
        self._short_s = 0.0
        self._long_s = 0.0

    @property
    def service_s(self) -> float:
        """Service time in seconds, without the wait in a queue; 0 before the first response."""
        times = [seconds for seconds in (self._short_s, self._long_s) if seconds]
        return min(times) if times else 0.0

    def is_shed(self, size: int) -> bool:
        """Whether a response of a size in bytes tells that the target shed the request."""
        return size < SHED_SIZE_SHARE * self._size

    def record(self, seconds: float, size: int, max_service_s: float) -> float:
        """Records the response to a request that ran.

        Args:
            seconds: Time in seconds from the request to the first acknowledgement of its response.
            size: Bytes acknowledged.
            max_service_s: Highest plausible service time in seconds.

        Returns:
            The time in seconds beyond the usual service time.
        """
        self._count += 1
        self._size += (size - self._size) / min(self._count, SIZE_SAMPLES)
        if size > SEGMENT_BYTES:
            usual_s = self._long_s = _follow(self._long_s, seconds)
        else:
            usual_s = self._short_s = _follow(self._short_s, seconds)
        return max(0.0, seconds - min(usual_s, max_service_s))


def _follow(service_s: float, seconds: float) -> float:
    if not service_s:
        return seconds
    if seconds < service_s:
        return service_s - FALL_SHARE * (service_s - seconds)
    return service_s * (1 + RISE_PER_RESPONSE)
