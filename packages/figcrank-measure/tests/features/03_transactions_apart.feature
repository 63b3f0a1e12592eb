Feature: Two callers' transactions never mix
  Scenario: One commits while the other rolls back
    Given a fleet with an empty table
    When two workspaces each open a transaction and write to it
    And the first commits and the second rolls back
    Then only the first workspace's rows are in the table
