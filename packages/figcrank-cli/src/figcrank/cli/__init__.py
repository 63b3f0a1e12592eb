"""Command-line programs: figcrankd, figcrankctl and the bench module."""
