"""Builds the inner packets that tests steer."""

import ipaddress

import dpkt

from pearwell.steering.ip import build_packet

CALLER_ADDRESSES = {4: "203.0.113.5", 6: "2001:db8:1::5"}
SERVICE_ADDRESSES = {4: "198.51.100.10", 6: "2001:db8::20"}


def tcp_packet(version=4, *, flags=0x02, data=b"", port=443, source_port=40000, seq=7, ack=0):
    """Builds a TCP packet from a caller to a service."""
    segment = dpkt.tcp.TCP(sport=source_port, dport=port, seq=seq, ack=ack, flags=flags, data=data)
    return _to_service(version, dpkt.ip.IP_PROTO_TCP, segment)


def udp_packet(version=4, *, data=b"", port=443, source_port=40000):
    """Builds a UDP packet from a caller to a service."""
    datagram = dpkt.udp.UDP(sport=source_port, dport=port, ulen=8 + len(data), data=data)
    return _to_service(version, dpkt.ip.IP_PROTO_UDP, datagram)


def _to_service(version, protocol, data):
    source, destination = (
        ipaddress.ip_address(addresses[version]).packed
        for addresses in (CALLER_ADDRESSES, SERVICE_ADDRESSES)
    )
    return build_packet(source, destination, protocol, data)
