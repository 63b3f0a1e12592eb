Feature: A database that is leaving gets no new work after a few seconds
  Scenario: An operator drains a replica under load
    Given a fleet under a steady load of reads
    When an operator drains a replica
    And 3 seconds pass
    Then the replica serves no further read
