Feature: Invalid input gets a clear error, and the daemon keeps running

  Scenario Outline: A request with <fault>
    When a caller sends a request with <fault>
    Then the status is <status>, and the message names <value> and <allowed>
    And the same daemon serves a rating

    Examples:
      | fault                         | status | value             | allowed                     |
      | an unknown service            | 400    | 'paving'          | rating                      |
      | an unknown path               | 404    | '/v1/covers'      | docs/callers.md             |
      | a method that is not allowed  | 405    | 'PUT'             | POST                        |
      | another account               | 400    | 'nobody'          | ondangwa-street-safety-trust |
      | an unknown team               | 400    | 'strangers'       | inspectors                  |
      | an unknown urgency            | 400    | 'at once'         | urgent                      |
      | a negative timeout            | 400    | '-5'              | from 1 to 3600000           |
      | a timeout of 30 digits        | 400    | 9999999999        | from 1 to 3600000           |
      | an unknown repeatable value   | 400    | 'perhaps'         | yes, no                     |
      | a missing idempotency key     | 400    | dispatch          | Idempotency-Key             |
      | a key that is too long        | 400    | xxxx              | 1 to 128 printable          |
      | a body above the service's limit | 400 | 262145            | 262144                      |
      | a body above the daemon's limit | 413  | Request Entity    | 8388608                     |
      | an invalid content length     | 400    | Bad Request       | Content-Length              |
      | headers above the limit       | 431    | Request Header    | 16384                       |

  Scenario Outline: An operator call with <fault>
    When an operator sends <fault>
    Then the status is <status>, and the message names <value> and <allowed>
    And the same daemon serves a rating

    Examples:
      | fault                         | status | value             | allowed         |
      | text that is not JSON         | 400    | JSON              | PublishBody     |
      | an unknown key                | 400    | covers            | unknown field   |
      | a wrong type                  | 400    | int               | base_version    |
      | an unknown selection          | 400    | 'building'        | kind            |
      | maintenance of an unknown host | 422   | rating-99         | list the hosts  |
      | the name of an unknown wave   | 422    | 'w-77'            | list the waves  |
      | a base that was not published | 422    | 77                | head is version |

  Scenario: A body that ends before its length
    When a caller closes its connection in the middle of a body
    Then the same daemon serves a rating
    And the truncated request is not in the ledger
