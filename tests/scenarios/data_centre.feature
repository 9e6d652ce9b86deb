Feature: A data centre leaves and returns

  Scenario: Withdrawn under load while the platform fails just after the edit
    Given a deployment with 3 data centres, 1 entry and 1 engines in each
    And callers send 8 calls a second for 12 seconds, 20 in 100 of them orders (seed 11)
    When 3 seconds pass
    And data centre "dc-b" is withdrawn
    And the platform is down
    Then data centre "dc-b" gets no new call
    When the platform is up again
    And data centre "dc-b" is returned
    And the load has ended
    Then no answer was truncated without an error
    And no order ran twice
    And every answered order ran
    And every refusal is true
    And a new completion and a new order are answered
