"""Tests of pearwell; one test module for each module of the package."""
