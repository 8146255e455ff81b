"""Tests of pearwell.cli.entry, run as a separate process."""

import json
import re
import signal
import socket
import subprocess
import sys

import pytest

from tests.addresses import loopback_address

ADDRESS = loopback_address()
SETTINGS = {
    "instance": "entry-1",
    "region": "pnw",
    "zone": "pnw-a",
    "address": ADDRESS,
    "fabric_port": 20200,
    "peer_port": 20201,
    "control_port": 20202,
    "admin_port": 20203,
    "metrics_port": 20204,
    "platform": {"address": loopback_address(1), "port": 20205},
    "plaintext": True,
    "stop_quiet_s": 0.1,
    "stop_deadline_s": 0.3,
}
SOCKET_TYPES = {
    "admin_port": socket.SOCK_STREAM,
    "control_port": socket.SOCK_STREAM,
    "fabric_port": socket.SOCK_DGRAM,
    "metrics_port": socket.SOCK_STREAM,
}


def start_entry(tmp_path, content, *flags):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(content))
    command = [sys.executable, "-m", "pearwell.cli.entry", "--settings", str(path), *flags]
    return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)


@pytest.mark.parametrize(
    ("content", "status", "line"),
    [
        (SETTINGS, 0, r"settings are valid: instance entry-1 in pnw-a\n"),
        ({**SETTINGS, "colour": 1}, 2, r"103 SETTINGS_UNKNOWN_KEY: colour: .*\n"),
    ],
)
def test_check_config_prints_the_result_and_exits(tmp_path, content, status, line):
    process = start_entry(tmp_path, content, "--check_config")
    output, errors = process.communicate(timeout=30)
    assert process.returncode == status
    assert re.fullmatch(line, output + errors)


@pytest.mark.parametrize("port", sorted(SOCKET_TYPES))
def test_port_in_use_exits_with_its_code(tmp_path, port):
    with socket.socket(socket.AF_INET, SOCKET_TYPES[port]) as other:
        other.bind((ADDRESS, SETTINGS[port]))
        if SOCKET_TYPES[port] is socket.SOCK_STREAM:
            other.listen()
        process = start_entry(tmp_path, {**SETTINGS, "log_level": "error"})
        output, errors = process.communicate(timeout=30)
    assert process.returncode == 2
    assert re.fullmatch(rf"106 SETTINGS_PORT_IN_USE: .*{ADDRESS}:{SETTINGS[port]}.*\n", errors)
    assert output == ""


def test_sigterm_stops_the_daemon_with_status_0(tmp_path):
    process = start_entry(tmp_path, SETTINGS)
    try:
        while "instance_started" not in process.stderr.readline():
            assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        _, errors = process.communicate(timeout=30)
    finally:
        process.kill()
    assert process.returncode == 0
    assert "event=instance_stopped instance=entry-1" in errors
