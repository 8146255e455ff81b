"""Configuration objects: stored, checked, changed, watched and spread to every instance."""
