"""Tests of pearwell.settings."""

import json

import pytest

from pearwell.errors import Code, SettingsError
from pearwell.settings import load_settings
from scripts.settings_reference import PAGE, render

PEER = {"instance": "b", "address": "127.10.9.2", "peer_port": 20101, "control_port": 20102}
PLATFORM = {"address": "127.10.9.100", "port": 20105}
VALID = {
    "instance": "a",
    "region": "pnw",
    "zone": "pnw-a",
    "address": "127.10.9.1",
    "fabric_port": 20100,
    "peer_port": 20101,
    "control_port": 20102,
    "admin_port": 20103,
    "metrics_port": 20104,
    "platform": PLATFORM,
    "peers": [PEER, {**PEER, "instance": "a", "address": "127.10.9.1"}],
    "plaintext": True,
}


def load(tmp_path, content):
    path = tmp_path / "settings.json"
    path.write_text(content if isinstance(content, str) else json.dumps(content))
    return load_settings(path)


def test_valid_settings_are_loaded(tmp_path):
    settings = load(tmp_path, VALID)
    assert settings.instance == "a"
    assert settings.peers[0].address == "127.10.9.2"


@pytest.mark.parametrize(
    ("change", "code", "key"),
    [
        ({"colour": 1}, Code.SETTINGS_UNKNOWN_KEY, "colour"),
        ({"tls": {"x": 1}}, Code.SETTINGS_MISSING_KEY, "tls.certificate"),
        ({"platform": {**PLATFORM, "x": 1}}, Code.SETTINGS_UNKNOWN_KEY, "platform.x"),
        ({"fabric_port": "20100"}, Code.SETTINGS_WRONG_TYPE, "fabric_port"),
        ({"peers": {}}, Code.SETTINGS_WRONG_TYPE, "peers"),
        ({"plaintext": 1}, Code.SETTINGS_WRONG_TYPE, "plaintext"),
        ({"fabric_port": 0}, Code.SETTINGS_INVALID_VALUE, "fabric_port"),
        ({"address": "localhost"}, Code.SETTINGS_INVALID_VALUE, "address"),
        ({"instance": "No Spaces"}, Code.SETTINGS_INVALID_VALUE, "instance"),
        ({"log_level": "loud"}, Code.SETTINGS_INVALID_VALUE, "log_level"),
        ({"plaintext": False}, Code.SETTINGS_INVALID_VALUE, "tls"),
        ({"zone": None}, Code.SETTINGS_WRONG_TYPE, "zone"),
        ({"peer_port": 20100}, Code.SETTINGS_DUPLICATE_ADDRESS, "127.10.9.1:20100"),
        ({"peers": [PEER, PEER]}, Code.SETTINGS_DUPLICATE_ADDRESS, "127.10.9.2:20101"),
        (
            {"peers": [PEER, {**PEER, "address": "127.10.9.3"}]},
            Code.SETTINGS_DUPLICATE_ADDRESS,
            "instance b",
        ),
        (
            {"peers": [{**PEER, "address": "127.10.9.1"}]},
            Code.SETTINGS_DUPLICATE_ADDRESS,
            "127.10.9.1",
        ),
    ],
)
def test_each_invalid_setting_has_its_code_and_names_the_key(tmp_path, change, code, key):
    with pytest.raises(SettingsError) as caught:
        load(tmp_path, {**VALID, **change})
    assert caught.value.code is code
    assert key in caught.value.detail
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize("key", ["instance", "zone", "address", "platform", "metrics_port"])
def test_a_missing_key_has_its_code_and_is_named(tmp_path, key):
    with pytest.raises(SettingsError) as caught:
        load(tmp_path, {name: value for name, value in VALID.items() if name != key})
    assert (caught.value.code, caught.value.detail.split(":")[0]) == (
        Code.SETTINGS_MISSING_KEY,
        key,
    )


@pytest.mark.parametrize("content", ["", "{", "[1,]", "[" * 100_000])
def test_invalid_json_has_its_code(tmp_path, content):
    with pytest.raises(SettingsError) as caught:
        load(tmp_path, content)
    assert caught.value.code is Code.SETTINGS_NOT_JSON


def test_a_missing_file_has_its_code(tmp_path):
    with pytest.raises(SettingsError) as caught:
        load_settings(tmp_path / "none.json")
    assert caught.value.code is Code.SETTINGS_UNREADABLE


def test_the_reference_page_is_current():
    assert PAGE.read_text(encoding="utf-8") == render()
