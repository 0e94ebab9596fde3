Feature: A published configuration is in force everywhere within 10 s and never reverts

  Scenario: Two operators publish on the same base
    When alice and bob publish concurrently on the same base
    Then one of them gets a conflict that names the winner
    And the version is in force on all entry hosts within 10 s

  Scenario: The store fails right after the commit
    When alice publishes a version
    And the store is down for 6 s
    Then the version is in force on all entry hosts within 10 s
    And the version in force decreased on no entry host

  Scenario: A daemon is frozen while a version is published
    When entry-4 is frozen
    And alice publishes a version
    And 4 s pass
    And entry-4 resumes
    Then the version is in force on all entry hosts within 10 s
    And the version in force decreased on no entry host

  Scenario: A daemon is restarted while the store is down
    When alice publishes a version
    And the version is in force on all entry hosts
    And the store is down until the fault is cleared
    And entry-5 is killed and started again
    Then entry-5 starts from its peers with the latest published version
    And entry-5 serves ratings before it has reached the store
    When the store answers again
    Then all daemons reach the store within 5 s
    When alice publishes a version
    Then the version is in force on all entry hosts within 10 s
    And the version in force decreased on no entry host
