Feature: Other entry hosts keep serving when some are killed or frozen

  Scenario Outline: The owner of a queue and <count> more daemons are killed
    Given 24 callers send ratings through entry hosts that will not fail
    When the owner of the rating queue and <count> more daemons are killed
    And 4 s pass
    Then every rating was run, and started within 1.3 s
    And no backend server received more requests at a time than it has slots
    And all slots return to 0 in use
    And the killed daemons rejoin after they are started again

    Examples:
      | count |
      | 0     |
      | 1     |

  Scenario: The owner of a queue is frozen and resumes
    Given 24 callers send ratings through entry hosts that will not fail
    And 8 long ratings are in flight through the owner of the rating queue
    When the owner of the rating queue is frozen for 5 s
    And 2 s pass
    Then every rating was run, and started within 1.3 s
    And no backend server received more requests at a time than it has slots
    And no rating ran twice
    And all slots return to 0 in use
    And all entry hosts list the frozen daemon as live
