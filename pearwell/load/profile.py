"""Profiles: services of a client account and their traffic."""

from dataclasses import dataclass

from pearwell.errors import Code, SettingsError
from pearwell.model.service import Preference

__all__ = ["PROFILES", "Profile", "ServiceProfile", "find_profile"]


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """One service of a profile.

    Attributes:
        name: Name of the service and of its group.
        targets: Number of targets.
        slots: Requests that a target serves concurrently.
        flows_per_target: Open flows per target in steady state.
        preference: Whether unbroken flows or evenly loaded targets take priority.
        payload_bytes: Payload size of each request in bytes.
    """

    name: str
    targets: int
    slots: int
    flows_per_target: int
    preference: Preference
    payload_bytes: int


@dataclass(frozen=True, slots=True)
class Profile:
    """The services of one client account in one availability zone.

    Attributes:
        name: Name of the profile.
        zone: Availability zone.
        region: Region of the zone.
        services: Its services.
        request_interval_s: Mean time between two requests of a flow in seconds.
        mean_flow_s: Mean lifetime of a flow in seconds.
    """

    name: str
    zone: str
    region: str
    services: tuple[ServiceProfile, ...]
    request_interval_s: float
    mean_flow_s: float

    @property
    def targets(self) -> int:
        """Total number of targets of all services."""
        return sum(service.targets for service in self.services)

    @property
    def flows(self) -> int:
        """Total open flows of all services in steady state."""
        return sum(service.targets * service.flows_per_target for service in self.services)


PROFILES = {
    profile.name: profile
    for profile in (
        Profile(
            name="bureau",
            zone="pnw-a",
            region="pnw",
            services=(
                ServiceProfile("intake", 7, 3, 4300, Preference.UNBROKEN, 200),
                ServiceProfile("tables", 3, 3, 4300, Preference.UNBROKEN, 64),
            ),
            request_interval_s=20.0,
            mean_flow_s=7200.0,
        ),
        Profile(
            name="quillmere",
            zone="mid-a",
            region="midlands",
            services=(
                ServiceProfile("quota-ledger", 7, 2, 4400, Preference.EVEN, 120),
                ServiceProfile("billing-reports", 3, 2, 4400, Preference.EVEN, 64),
            ),
            request_interval_s=20.0,
            mean_flow_s=7200.0,
        ),
    )
}


def find_profile(name: str) -> Profile:
    """Returns a profile by name.

    Raises:
        SettingsError: SETTINGS_INVALID_VALUE if no profile has that name.
    """
    profile = PROFILES.get(name)
    if profile is None:
        known = ", ".join(sorted(PROFILES))
        raise SettingsError(
            Code.SETTINGS_INVALID_VALUE, f"unknown profile {name!r}; known profiles: {known}"
        )
    return profile
