Feature: A data centre is withdrawn and brought back

  Scenario: A data centre is withdrawn under load and the platform fails after the edit
    Given a deployment with 3 data centres, 1 entry and 1 engines in each
    And callers send 8 calls a second for 12 seconds, 20 in 100 of them orders (seed 11)
    When 3 seconds pass
    And data centre "dc-b" is withdrawn
    And the platform is down
    Then data centre "dc-b" gets no new call
    When the platform is up again
    And data centre "dc-b" is brought back
    And the load has ended
    Then no answer was truncated without an error
    And no order ran twice
    And every answered order ran
    And no refused order ran
    And a new completion and a new order are answered
