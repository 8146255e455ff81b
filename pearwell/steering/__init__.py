"""Packet steering: sends every packet to the target of its flow."""
