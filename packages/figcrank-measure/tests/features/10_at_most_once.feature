Feature: A request that may not be repeated runs at most once
  Scenario: The owner host dies with writes under way
    Given a fleet under a heavy load of writes
    When the coordinator of the group dies
    And 4 seconds pass
    Then every acknowledged write is in the final log exactly once
    And no write is in the final log twice
    And no refused write is in the final log
