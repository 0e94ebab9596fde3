Feature: An order that must not be repeated runs at most once

  Scenario: The same order through three entry hosts at once, and again later
    Given backend servers take 1 s longer for 1 requests each
    When 10 orders are each sent at once through 3 entry hosts
    And the same orders are sent again
    Then each order ran exactly once
    And the last answer to each order is the recorded one
    And what callers were told agrees with the ledger

  Scenario: The response to the claim's write is lost
    Given the store loses all responses to writes for 1 s
    When 30 orders are sent at once
    And the store answers again
    And the orders that were not run are sent again until they are run
    Then at least 1 order was run in spite of the fault
    And each order ran exactly once
    And what callers were told agrees with the ledger

  Scenario: The store is down
    When the store is down for 3 s
    And 20 orders are sent at once
    Then all orders were refused as not run with reason store_unavailable
    And no order is in the ledger
    When the store answers again
    And the orders that were not run are sent again until they are run
    Then each order ran exactly once

  Scenario: The store is slow
    Given the store answers 0.5 s late
    When 10 orders are each sent at once through 3 entry hosts
    Then each order ran exactly once
    And what callers were told agrees with the ledger

  Scenario: The claimant is frozen between its claim and the dispatch
    Given the store answers 0.6 s late
    When an order is sent through an entry host that freezes after the claim is committed
    And the same order is sent through another entry host
    Then the other entry host tells that the outcome is unknown
    When the claimant is resumed
    Then each order ran exactly once
    And what callers were told agrees with the ledger

  Scenario: The backend server resets the connection after it has run the order
    Given all backend servers reset connections after the request has run
    When 5 orders are sent at once
    And the same orders are sent again
    Then all answers tell that the outcome is unknown
    And each order ran exactly once
