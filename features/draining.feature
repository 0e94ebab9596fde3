@reboot_s=2
Feature: Hosts in maintenance get no new requests, and pools keep their availability budget

  Scenario: A host drains while the platform's host list lags
    Given the platform's host list lags by 60 s
    And 24 callers send ratings over kept-alive connections
    When an operator declares maintenance of hosts rating-2
    And the maintenance has finished
    Then rating-2 got requests before, and none from 5 s after the declaration until it was active again
    And no request of a caller was cut off, refused or left without its own answer

  Scenario: Overlapping maintenance of two operators, and a store outage in the middle
    Given all host rows are watched
    And 24 callers send ratings over kept-alive connections
    When two operators concurrently declare rack ondangwa-rack-1 and hosts rating-3,rating-4
    And the first 2 hosts of the rack are out of service
    And the store is down for 5 s
    Then no host leaves service during the outage
    When the maintenance has finished
    Then each host of the rack was rebooted once
    And never more than 2 hosts of the pool rating were out of service
    And no request of a caller was cut off, refused or left without its own answer
