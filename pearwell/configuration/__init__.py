"""Configuration objects: stored, validated, edited, watched and distributed to every instance."""
