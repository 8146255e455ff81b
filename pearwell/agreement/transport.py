"""Message transport between instances: the interface and a simulated in-memory network."""

import heapq
from collections.abc import Callable
from typing import Protocol

from pearwell.clock import ManualClock
from pearwell.messages import Message, decode, encode

__all__ = ["Delivery", "MemoryNetwork", "Receiver", "Transport"]

Receiver = Callable[[str, Message], None]


class Transport(Protocol):
    """Sends one-way messages to other instances: best effort, in order per peer."""

    def send(self, to: str, message: Message) -> None:
        """Sends a message to an instance; drops it if it can't be sent."""


class Delivery(Protocol):
    """Simulates delay, loss and duplication on the in-memory network."""

    def __call__(self, sender: str, to: str, message: Message) -> tuple[float, ...]:
        """Returns the delay in seconds of each delivered copy; empty if the message is lost."""


class MemoryNetwork:
    """Delivers encoded messages between protocol cores in virtual time.

    Args:
        clock: Virtual clock, advanced to the time of each delivery.
        delivery: Delivery simulation; by default every message arrives once after 1 ms.
    """

    def __init__(self, clock: ManualClock, delivery: Delivery | None = None) -> None:
        self._clock = clock
        self._delivery = delivery or (lambda sender, to, message: (0.001,))
        self._receivers: dict[str, Receiver] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._bytes_sent: dict[str, int] = {}

    @property
    def bytes_sent(self) -> dict[str, int]:
        """Number of encoded bytes sent, by sender."""
        return self._bytes_sent

    def attach(self, instance: str, receiver: Receiver) -> Transport:
        """Attaches an instance and returns its transport."""
        self._receivers[instance] = receiver
        return _MemoryTransport(self, instance)

    def detach(self, instance: str) -> None:
        """Detaches an instance; messages to it are lost."""
        self._receivers.pop(instance, None)

    def send(self, sender: str, to: str, message: Message) -> None:
        """Schedules the delivery of a message."""
        payload = encode(message)
        self._bytes_sent[sender] = self._bytes_sent.get(sender, 0) + len(payload)
        for delay in self._delivery(sender, to, message):
            self.call_at(self._clock.now() + delay, lambda: self._deliver(sender, to, payload))

    def call_at(self, when: float, action: Callable[[], None]) -> None:
        """Schedules an action, such as a tick, at a time in seconds."""
        self._sequence += 1
        heapq.heappush(self._queue, (when, self._sequence, action))

    def run_until(self, when: float) -> None:
        """Runs all scheduled deliveries and actions up to a time in seconds."""
        while self._queue and self._queue[0][0] <= when:
            due, _, action = heapq.heappop(self._queue)
            self._clock.advance_to(due)
            action()
        self._clock.advance_to(when)

    def _deliver(self, sender: str, to: str, payload: bytes) -> None:
        receiver = self._receivers.get(to)
        if receiver is not None:
            receiver(sender, decode(payload))


class _MemoryTransport:
    """The transport of one instance on a MemoryNetwork."""

    def __init__(self, network: MemoryNetwork, instance: str) -> None:
        self._network = network
        self._instance = instance

    def send(self, to: str, message: Message) -> None:
        """Sends a message to an instance."""
        self._network.send(self._instance, to, message)
