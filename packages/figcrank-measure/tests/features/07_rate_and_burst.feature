Feature: No workspace gets more than its rate and burst
  Scenario: One workspace sends eight times its rate through every host
    Given a fleet with an empty table
    When workspace 5 sends 8 times its rate through every host for 5 seconds
    Then no window admits more than its rate and burst
    And at least its rate is admitted
