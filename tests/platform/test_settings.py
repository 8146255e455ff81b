"""Tests of pearwell.platform.settings."""

import pytest

from pearwell.errors import Code, SettingsError
from pearwell.platform.settings import parse_settings, read_settings
from tests.platform.settings_text import settings_text


def test_valid_settings():
    settings = parse_settings(settings_text())
    assert settings.instance == "edge-pnw-a-1"
    assert settings.packets == ("10.1.0.10", 8172)
    assert settings.seeds == (("10.1.0.10", 8166), ("10.2.0.40", 8166))
    assert (settings.drain_s, settings.config_s, settings.contact_s) == (3.0, 3.0, 4.0)


@pytest.mark.parametrize(
    ("changes", "field", "value"),
    [
        ({"ListenAddrs__Control": None}, "control", None),
        ({"InternalPorts": "7720,7735"}, "peer_port", 7720),
        ({"InternalPorts": ""}, "peer_port", None),
        ({"InternalPorts": ""}, "ignored", ()),
        ({"InternalPorts": "77200,77210"}, "peer_port", None),
        ({"InternalPorts": "77200,77210"}, "ignored", ("InternalPorts=77200",)),
        ({"InternalPorts": "7" * 5000}, "ignored", ("InternalPorts=" + "7" * 20,)),
        ({"InternalPorts": "x"}, "ignored", ("InternalPorts=x",)),
        ({"Seeds": "10.1.0.10:8166"}, "is_relay", True),
        ({"Seeds": "10.1.0.11:8166"}, "is_relay", False),
        ({"Seeds": ""}, "seeds", ()),
        ({"Seeds": None}, "seeds", ()),
        ({"New__Field": "x=y"}, "zone", "pnw-a"),
        ({"Bounds__GraceS": "2.5"}, "grace_s", 2.5),
        ({}, "evacuate_s", None),
        ({"Bounds__EvacuateMs": "5000"}, "evacuate_s", 5.0),
        ({}, "warmup_overage", 1.0),
        ({"Bounds__WarmupOverage": "1.5"}, "warmup_overage", 1.5),
        ({}, "warmup_slack", 0.0),
        ({"Bounds__WarmupSlack": "5"}, "warmup_slack", 5.0),
    ],
)
def test_optional_and_unknown_fields(changes, field, value):
    assert getattr(parse_settings(settings_text(**changes)), field) == value


@pytest.mark.parametrize(
    ("changes", "code"),
    [
        ({"NodeName": None}, Code.SETTINGS_MISSING_KEY),
        ({"Zone": ""}, Code.SETTINGS_MISSING_KEY),
        ({"Bounds__DrainMs": "soon"}, Code.SETTINGS_INVALID_VALUE),
        ({"Bounds__DrainMs": "nan"}, Code.SETTINGS_INVALID_VALUE),
        ({"Bounds__DrainMs": "-1"}, Code.SETTINGS_INVALID_VALUE),
        ({"Bounds__EvacuateMs": "soon"}, Code.SETTINGS_INVALID_VALUE),
        ({"platform__Address": "10.200.1.7"}, Code.SETTINGS_INVALID_VALUE),
        ({"platform__Address": "10.200.1.7:99999"}, Code.SETTINGS_INVALID_VALUE),
        ({"ListenAddrs__Ready": ":80"}, Code.SETTINGS_INVALID_VALUE),
        ({"ListenAddrs__Ready": "10.1.0.10:" + "1" * 5000}, Code.SETTINGS_INVALID_VALUE),
        ({"ListenAddrs__Ready": "10.1.0.300:80"}, Code.SETTINGS_INVALID_VALUE),
        ({"platform__Address": "a..b:80"}, Code.SETTINGS_INVALID_VALUE),
        ({"platform__Address": "a" * 70 + ":80"}, Code.SETTINGS_INVALID_VALUE),
        ({"Ip": "10.1.0"}, Code.SETTINGS_INVALID_VALUE),
        ({"Ip": "10.1\0.0.1"}, Code.SETTINGS_INVALID_VALUE),
        ({"Seeds": "10.1.0.10:8166,nowhere"}, Code.SETTINGS_INVALID_VALUE),
    ],
)
def test_invalid_settings_have_a_code(changes, code):
    with pytest.raises(SettingsError) as caught:
        parse_settings(settings_text(**changes))
    assert caught.value.code is code


@pytest.mark.parametrize("content", [None, b"\xff\xfe"])
def test_an_unreadable_file_has_a_code(tmp_path, content):
    path = tmp_path / "node.conf"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(SettingsError) as caught:
        read_settings(str(path))
    assert caught.value.code is Code.SETTINGS_UNREADABLE
