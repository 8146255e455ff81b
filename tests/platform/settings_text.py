"""Builds the text of the platform's settings file."""

SETTINGS = {
    "NodeName": "edge-pnw-a-1",
    "Role": "my-edge",
    "Ip": "10.1.0.10",
    "Zone": "pnw-a",
    "Zones.pnw-a": "pnw",
    "ListenAddrs.DatagramAddr": "10.1.0.10:8172",
    "ListenAddrs.Ready": "10.1.0.10:8167",
    "ListenAddrs.Control": "10.1.0.10:8166",
    "Seeds": "10.1.0.10:8166,10.2.0.40:8166",
    "Limits.MemoryMb": "222",
    "Bounds.ContactMs": "4000",
    "Bounds.DrainMs": "3000",
    "Bounds.GraceS": "6",
    "Bounds.ConfigApplyMs": "3000",
    "platform.Address": "10.200.1.7:8169",
}


def settings_text(**changes):
    """Returns the text with the given values changed; None omits a key."""
    fields = {**SETTINGS, **{key.replace("__", "."): value for key, value in changes.items()}}
    return "".join(f"{key}={value}\n" for key, value in fields.items() if value is not None)
