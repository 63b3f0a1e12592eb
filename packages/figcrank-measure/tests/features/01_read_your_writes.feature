Feature: Read-your-writes
  Scenario: A phone roams to another host while replicas lag
    Given a fleet whose replicas show changes 30 seconds late
    When a dispatcher swaps a crew at host 1
    And the same session reads the shift at host 5 with the profile "relaxed"
    Then the read shows the swap
