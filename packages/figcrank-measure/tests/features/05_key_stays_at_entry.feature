Feature: No database sees a caller's key
  Scenario: Every hop behind the entry host is searched
    Given a fleet that records every message between its parts
    When a dispatcher swaps a crew at host 1
    And the same session reads the shift at host 5 with the profile "relaxed"
    Then no message, decision or span contains the key's secret
