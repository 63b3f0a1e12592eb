Feature: "Not run" means that the request did not run
  Scenario: The primary dies under load with short deadlines
    Given a fleet under a heavy load of writes with short deadlines
    When the primary dies
    And 4 seconds pass
    Then no refused write is in the final log
    And every acknowledged write is in the final log exactly once
