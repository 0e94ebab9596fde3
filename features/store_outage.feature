Feature: Repeatable requests go on at full rate while the store is down

  Scenario: The store is down for 30 s
    Given the store's calls are counted each second
    And 18 callers send 10 ratings a second each
    And 5 s pass
    When the store is down for 30 s
    And 8 s pass
    And entry-6 is killed and started again
    Then entry-6 starts from its peers with the latest published version
    And entry-6 serves ratings before it has reached the store
    When the store has answered again
    Then all daemons reach the store within 5 s
    And an order is run through each entry host
    And all daemons may own queues again
    And callers had the full rate during the outage
    And the store had at most 300 writes and 1000 reads in each second
