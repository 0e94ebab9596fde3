Feature: A planned stop interrupts no request

  Scenario: Daemons stop one after another under load
    Given 24 callers send ratings over kept-alive connections
    When the owner of the rating queue and 2 more daemons stop one after another
    Then each daemon reported that it stops before it closed its listener
    And each daemon ended with exit code 0
    And no request of a caller was cut off, refused or left without its own answer

  Scenario: Three daemons stop concurrently with long requests in flight
    Given backend servers take 3 s longer for 2 requests each
    And 24 callers send ratings over kept-alive connections
    When the owner of the rating queue and 2 more daemons stop concurrently
    Then each daemon reported that it stops before it closed its listener
    And each daemon ended with exit code 0
    And no request of a caller was cut off, refused or left without its own answer
