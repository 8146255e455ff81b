"""Steering: the way of every packet to the target of its flow."""
