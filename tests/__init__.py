"""Tests: tables of cases, and whole days in virtual time."""
