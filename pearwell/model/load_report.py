"""Load reports: validation of load endpoint responses and the message type derived from them."""

import msgspec
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from pearwell.errors import Code, PearwellError

__all__ = ["LoadReport", "LoadReportError", "parse_load_report"]

MAX_FLOWS = 10_000_000
MAX_SLOTS = 1_000_000


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """The load that one target reports.

    Attributes:
        open_flows: Number of open flows.
        in_use: Number of slots in use; fractional if it is a mean.
        slots: Requests that it can serve concurrently; 0 if unknown.
        shedding: Whether the target reports that it refuses flows.
    """

    open_flows: int
    in_use: float = 0.0
    slots: int = 0
    shedding: bool = False


class LoadReportError(PearwellError):
    """The response of a load endpoint is invalid (7xx)."""


class _LoadResponse(BaseModel):
    """The JSON object that a load endpoint returns; unknown fields are ignored."""

    model_config = ConfigDict(frozen=True, extra="ignore")

    open_flows: int = Field(ge=0, le=MAX_FLOWS)
    in_use: float = Field(default=0.0, ge=0.0, le=MAX_SLOTS, allow_inf_nan=False)
    slots: int = Field(default=0, ge=0, le=MAX_SLOTS)
    shedding: bool = False


def parse_load_report(body: bytes) -> LoadReport:
    """Validates the response of a load endpoint.

    Args:
        body: Response body, a JSON object.

    Returns:
        The load report.

    Raises:
        LoadReportError: TARGET_BAD_REPORT if the body isn't a valid load report.
    """
    try:
        response = _LoadResponse.model_validate_json(body)
    except ValidationError as error:
        detail = f"{error.error_count()} validation errors in the load report"
        raise LoadReportError(Code.TARGET_BAD_REPORT, detail) from error
    return LoadReport(response.open_flows, response.in_use, response.slots, response.shedding)
