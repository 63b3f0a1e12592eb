Feature: A replaced primary acknowledges nothing
  Scenario: The primary is cut off from its replicas while hosts still reach it
    Given a fleet under a steady load of writes
    When the primary is cut off from its replicas
    And 3 seconds pass
    And the cut heals
    And 3 seconds pass
    Then a new primary has been promoted
    And every acknowledged write is in the final log exactly once
    And no refused write is in the final log
