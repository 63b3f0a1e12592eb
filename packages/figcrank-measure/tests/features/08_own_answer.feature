Feature: A caller gets the whole answer to its own request
  Scenario: A backend server goes silent with requests under way
    Given a fleet with an empty table
    When 60 callers each read a value of their own
    And a replica goes silent while they wait
    And 6 seconds pass
    Then every answer is the caller's own value
