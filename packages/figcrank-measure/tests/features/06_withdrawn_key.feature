Feature: A withdrawn key stops working within seconds
  Scenario: One host is cut off from every other and from the platform
    Given a fleet with an empty table
    And host 7 is cut off from the other hosts and from the platform
    When an operator withdraws the key of workspace 1 at host 2
    And 2 seconds pass
    Then every host refuses the key of workspace 1
