Feature: Processes are killed, paused and shut down

  Scenario: An agent is killed and another paused while the platform loses answers
    Given a deployment with 2 data centres, 1 entry and 2 engines in each
    And callers send 8 calls a second for 12 seconds, 30 in 100 of them orders (seed 12)
    When 2 seconds pass
    And the platform loses its next 3 answers
    And "agent-plain-dc-a-0" is killed
    And 2 seconds pass
    And "agent-plain-dc-a-0" is started again
    And "agent-engine-dc-b-0" is paused
    And 4 seconds pass
    And "agent-engine-dc-b-0" is resumed
    And the load has ended
    Then at least 80 in 100 calls were answered
    And no answer was truncated without an error
    And no order ran twice
    And every answered order ran
    And no refused order ran
    And a new completion and a new order are answered

  Scenario: Agents are shut down gracefully under load
    Given a deployment with 2 data centres, 1 entry and 2 engines in each
    And callers send 6 calls a second for 10 seconds, 20 in 100 of them orders (seed 13)
    When 2 seconds pass
    And "agent-engine-dc-a-0" is shut down gracefully
    And "agent-engine-dc-a-0" is started again
    And "agent-plain-dc-b-0" is shut down gracefully
    And "agent-plain-dc-b-0" is started again
    And the load has ended
    Then no call failed except by a refusal
    And no answer was truncated without an error
    And no order ran twice
    And no refused order ran
