Feature: A non-repeatable order runs at most once

  Scenario: The same order concurrently through three entry hosts, and again later
    Given backend servers take 1 s longer for 1 requests each
    When 10 orders are each sent concurrently through 3 entry hosts
    And the same orders are sent again
    Then each order ran exactly once
    And the last answer to each order is the recorded one
    And the reported outcomes agree with the ledger

  Scenario: The response to the claim's write is lost
    Given the store loses all responses to writes for 1 s
    When 30 orders are sent concurrently
    And the store answers again
    And the orders that were not run are sent again until they are run
    Then at least 1 order was run despite the fault
    And each order ran exactly once
    And the reported outcomes agree with the ledger

  Scenario: The store is down
    When the store is down for 3 s
    And 20 orders are sent concurrently
    Then all orders were refused as not run with reason store_unavailable
    And no order is in the ledger
    When the store answers again
    And the orders that were not run are sent again until they are run
    Then each order ran exactly once

  Scenario: The store is slow
    Given the store answers 0.5 s late
    When 10 orders are each sent concurrently through 3 entry hosts
    Then each order ran exactly once
    And the reported outcomes agree with the ledger

  Scenario: The claimant is frozen between its claim and the dispatch
    Given the store answers 0.6 s late
    When an order is sent through an entry host that freezes after the claim is committed
    And the same order is sent through another entry host
    Then the other entry host reports an unknown outcome
    When the claimant is resumed
    Then each order ran exactly once
    And the reported outcomes agree with the ledger

  Scenario: The backend server resets the connection after it has run the order
    Given all backend servers reset connections after the request has run
    When 5 orders are sent concurrently
    And the same orders are sent again
    Then all answers report an unknown outcome
    And each order ran exactly once
