Feature: A caller gets the answer to its own request, or its true outcome

  Scenario Outline: Backend servers <fault>
    Given <server> backend servers have the fault <kind> for <count> requests each
    When 200 ratings, 100 hotline calls and 60 orders are sent, 40 at a time
    Then the reported outcomes agree with the ledger
    And no request was cut off
    And at least <share> of 100 requests got the answer to their own body
    And at least <unknown> orders are reported with an unknown outcome

    Examples:
      | fault                            | server | kind              | count | share | unknown |
      | refuse connections               | some   | refuse            | 1     | 98    | 0       |
      | reset before they read           | all    | reset_before_read | 2     | 75    | 4       |
      | reset after they have run        | all    | reset_after_read  | 2     | 75    | 4       |
      | truncate answers                 | all    | truncated         | 2     | 75    | 4       |
      | return another request id        | all    | wrong_id          | 2     | 75    | 4       |

  Scenario: Large bodies
    When 12 ratings of 4 MB are sent, 6 at a time
    Then every caller got the answer to its own body
    And the reported outcomes agree with the ledger

  Scenario: Several hundred concurrent callers
    When 400 ratings, 300 hotline calls and 100 orders are sent, 400 at a time
    Then the reported outcomes agree with the ledger
    And no request was cut off
    And at least 80 of 100 requests got the answer to their own body
