Feature: An accepted configuration is in force everywhere and never reverts
  Scenario: A host was cut off during the edit and comes back
    Given a fleet with an empty table
    And host 7 is cut off from the other hosts and from the platform
    When an operator doubles the rate of workspace 3 at host 2
    And 2 seconds pass
    Then every host but host 7 has the new rate in force
    When host 7 is connected again
    And 2 seconds pass
    And the configuration of before is pushed to every host again
    Then every host has the new rate in force
    And no host's revision ever fell
