Feature: Operators see the state of the nodes of the fleet

  Scenario: An overloaded service, a large upload that was refused, and a node that does not answer
    Given these nodes of the fleet:
      | vm      | failure domain | service | state    | running | waiting | slots | offered/s | capacity/s | limit/s | body bytes | controller |
      | front-1 | a              | front   | ready    | 1       | 0       | 8     | 12        | 160        |         | 10616832   | yes        |
      | depot-1 | b              | depot   | ready    | 2       | 8       | 2     | 40        | 24.3       |         | 0          |            |
      | depot-2 | c              | depot   | ready    | 1       | 0       | 4     | 6         | 48         | 20      | 2048       |            |
      | depot-3 | c              | depot   | draining | 0       | 0       | 4     | 0         | 48         |         | 0          |            |
    And requests that entered at "front-1" ended as follows:
      | service | status | outcome     | reason               | priority | count |
      | depot   | 200    | answer      | answered             | 0        | 240   |
      | depot   | 503    | not-run     | overloaded           | 0        | 12    |
      | depot   | 503    | not-run     | displaced            | 2        | 30    |
      | depot   | 504    | unknown     | timeout              | 0        | 1     |
      |         | 503    | not-run     | no-memory            |          | 2     |
      |         | 413    | bad-request | the body is too long |          | 3     |
    And the server beside "depot-1" promised 44 retry times, of which 43 were kept and 1 was broken
    And "front-1" sent 5 second tries of service "depot", of which 3 were answered first
    When the operator asks the nodes of the fleet:
      """
      $ buckthornpoint fleet-status <front-1> <depot-1> <depot-2> <depot-3>
      $ buckthornpoint fleet-status <depot-1> <depot-2> --nodes 1
      """
    And the node "depot-1" stops
    And the operator asks the nodes of the fleet:
      """
      $ buckthornpoint fleet-status <depot-1> <depot-2>
      $ buckthornpoint fleet-status <depot-1> --json
      $ buckthornpoint fleet-status depot-1
      """
    Then the session with the fleet matches the golden file "fleet-status.txt"
