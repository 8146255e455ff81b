"""Validated models of services and groups: their JSON form in the API and in the platform."""

import ipaddress
import re
from collections.abc import Mapping
from typing import Annotated, Any, TypeVar

import pydantic

from pearwell.errors import Code, ConfigurationError
from pearwell.model.configuration import Kind
from pearwell.model.group import (
    DEFAULT_ENCAPSULATION_PORT,
    DEFAULT_WEIGHT,
    MAX_WEIGHT,
    MIN_WEIGHT,
    GroupSpec,
    HealthCheck,
    TargetIntent,
    TargetSpec,
)
from pearwell.model.service import FlowLimits, Preference, ServiceSpec, TransportProtocol

__all__ = [
    "GroupModel",
    "ServiceModel",
    "Spec",
    "TargetModel",
    "check_name",
    "decode_spec",
    "encode_spec",
    "validate_model",
]

Spec = ServiceSpec | GroupSpec

MAX_NAME_CHARACTERS = 63
MAX_SEED = 2**64 - 1
MAX_SECONDS = 7 * 24 * 3600.0
MAX_FLOWS = 2**31 - 1
MAX_TARGETS = 4096

# A DNS label, which the platform requires of names of custom resources.
_NAME = re.compile(r"[a-z0-9]([-a-z0-9]{0,61}[a-z0-9])?")

# Error codes by the last name in an invalid field's path; other fields have CONFIG_INVALID.
_CODES_BY_FIELD: Mapping[str, Code] = {
    "name": Code.CONFIG_BAD_NAME,
    "weight": Code.CONFIG_WEIGHT_RANGE,
}


def check_name(name: str) -> str:
    """Returns the name unchanged if it is valid.

    Raises:
        ValueError: The name isn't a DNS label of at most 63 characters.
    """
    if not _NAME.fullmatch(name):
        raise ValueError("must be a DNS label: a-z, 0-9 and -, at most 63 characters")
    return name


def _check_address(address: str) -> str:
    parsed = ipaddress.ip_address(address)
    if parsed.is_multicast or parsed.is_unspecified:
        raise ValueError("must be a unicast address")
    return str(parsed)


def _normalize_enum_name(value: Any) -> Any:
    # Accepts the schema's enum names, such as TRANSPORT_PROTOCOL_TCP, as well as "tcp".
    return value.rsplit("_", 1)[-1].lower() if isinstance(value, str) else value


def _parse_protocol(value: Any) -> Any:
    names = {member.name.lower(): member for member in TransportProtocol}
    return names.get(_normalize_enum_name(value), value)


_Name = Annotated[str, pydantic.AfterValidator(check_name)]
_Address = Annotated[str, pydantic.AfterValidator(_check_address)]
_Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
_OptionalPort = Annotated[int, pydantic.Field(ge=0, le=65535)]
_FlowCount = Annotated[int, pydantic.Field(ge=0, le=MAX_FLOWS)]
_Seconds = Annotated[float, pydantic.Field(gt=0, le=MAX_SECONDS)]
_OptionalSeconds = Annotated[float, pydantic.Field(ge=0, le=MAX_SECONDS)]
_Protocol = Annotated[
    TransportProtocol,
    pydantic.BeforeValidator(_parse_protocol),
    pydantic.PlainSerializer(lambda protocol: protocol.name.lower(), return_type=str),
]
_Preference = Annotated[Preference, pydantic.BeforeValidator(_normalize_enum_name)]
_Intent = Annotated[TargetIntent, pydantic.BeforeValidator(_normalize_enum_name)]


class _Model(pydantic.BaseModel):
    # Unknown fields of later releases are ignored, so that releases can run side by side.
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True, from_attributes=True)


class HealthCheckModel(_Model):
    """Health check of a group's targets; see HealthCheck."""

    port: _OptionalPort = 0
    path: str = pydantic.Field(default="/healthz", pattern="^/", max_length=256)
    load_path: str = pydantic.Field(default="/load", pattern="^(/|$)", max_length=256)
    interval_s: float = pydantic.Field(default=1.0, ge=0.1, le=60)
    timeout_s: float = pydantic.Field(default=0.5, ge=0.01, le=60)
    failures: int = pydantic.Field(default=3, ge=1, le=100)
    successes: int = pydantic.Field(default=2, ge=1, le=100)

    def to_spec(self) -> HealthCheck:
        """Converts the model to the data class."""
        return HealthCheck(**dict(self))


class TargetModel(_Model):
    """One target; see TargetSpec."""

    name: _Name
    address: _Address
    zone: _Name
    port: _Port = DEFAULT_ENCAPSULATION_PORT
    weight: int = pydantic.Field(default=DEFAULT_WEIGHT, ge=MIN_WEIGHT, le=MAX_WEIGHT)
    slots: int = pydantic.Field(default=0, ge=0, le=1_000_000)
    intent: _Intent = TargetIntent.SERVING
    drain_deadline_s: _OptionalSeconds = 0.0

    def to_spec(self) -> TargetSpec:
        """Converts the model to the data class."""
        return TargetSpec(**dict(self))


class GroupModel(_Model):
    """A target group; see GroupSpec."""

    name: _Name
    targets: tuple[TargetModel, ...] = pydantic.Field(default=(), max_length=MAX_TARGETS)
    health: HealthCheckModel = HealthCheckModel()
    seed: int = pydantic.Field(default=0, ge=0, le=MAX_SEED)

    def to_spec(self) -> GroupSpec:
        """Converts the model to the data class."""
        targets = tuple(target.to_spec() for target in self.targets)
        return GroupSpec(self.name, targets, self.health.to_spec(), self.seed)


class FlowLimitsModel(_Model):
    """Admission limits; see FlowLimits."""

    new_flows_per_s: _FlowCount = 0
    open_flows: _FlowCount = 0
    prefix_new_flows_per_s: _FlowCount = 0
    target_new_flows_per_s: _FlowCount = 0
    target_open_flows: _FlowCount = 0

    def to_spec(self) -> FlowLimits:
        """Converts the model to the data class."""
        return FlowLimits(**dict(self))


class ServiceModel(_Model):
    """A service; see ServiceSpec."""

    name: _Name
    address: _Address
    port: _Port
    protocol: _Protocol
    group: Annotated[str, pydantic.AfterValidator(check_name)]
    idle_timeout_s: _Seconds = 3600.0
    learning_time_s: _OptionalSeconds = 2.0
    preference: _Preference = Preference.UNBROKEN
    limits: FlowLimitsModel = FlowLimitsModel()
    spill_zones: tuple[_Name, ...] = ()

    def to_spec(self) -> ServiceSpec:
        """Converts the model to the data class."""
        return ServiceSpec(**(dict(self) | {"limits": self.limits.to_spec()}))


_ModelT = TypeVar("_ModelT", bound=pydantic.BaseModel)

_MODELS: Mapping[Kind, type[ServiceModel] | type[GroupModel]] = {
    Kind.SERVICE: ServiceModel,
    Kind.GROUP: GroupModel,
}


def decode_spec(kind: Kind, value: Any) -> Spec:
    """Decodes and validates the JSON form of a service or group.

    Args:
        kind: Kind of the object.
        value: Field values by name; fields with defaults may be missing.

    Returns:
        The data class.

    Raises:
        ConfigurationError: CONFIG_INVALID, CONFIG_BAD_NAME or CONFIG_WEIGHT_RANGE; the detail
            names the field.
    """
    return validate_model(_MODELS[kind], kind, value).to_spec()


def validate_model(model: type[_ModelT], name: str, value: Any) -> _ModelT:
    """Validates a JSON value against a model.

    Args:
        model: The model.
        name: Name of the value, which the error's detail starts with.
        value: The JSON value.

    Raises:
        ConfigurationError: As for decode_spec.
    """
    try:
        return model.model_validate(value)
    except pydantic.ValidationError as error:
        raise _validation_error(name, error) from error


def encode_spec(kind: Kind, spec: Spec) -> dict[str, Any]:
    """Returns the JSON form of a service or group."""
    return _MODELS[kind].model_validate(spec).model_dump(mode="json")


def _validation_error(name: str, error: pydantic.ValidationError) -> ConfigurationError:
    first_error = error.errors()[0]
    names = [str(part) for part in first_error["loc"]]
    field_name = next((part for part in reversed(names) if not part.isdecimal()), "")
    code = _CODES_BY_FIELD.get(field_name, Code.CONFIG_INVALID)
    return ConfigurationError(code, f"{'.'.join([name, *names])}: {first_error['msg']}")
