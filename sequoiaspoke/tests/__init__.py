"""Tests, one module for each package."""
