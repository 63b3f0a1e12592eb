"""The figcrankd and figcrankctl programs."""
