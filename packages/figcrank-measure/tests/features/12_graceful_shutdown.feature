Feature: A graceful shutdown cuts no request
  Scenario: An owner host leaves under load
    Given a fleet under a heavy load of writes
    When the coordinator of the group is asked to shut down
    And 4 seconds pass
    Then the host has stopped
    And every write was acknowledged
    And every acknowledged write is in the final log exactly once
