"""Structured logging in logfmt: one line of key=value pairs per event, to standard error."""

import logging
import sys

import structlog

__all__ = ["configure_logs"]


def configure_logs(level: str, **bound: str) -> None:
    """Configures structlog for this process.

    Args:
        level: Minimum level to log, such as "info".
        **bound: Key-value pairs added to every line, such as the instance id.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(**bound)
