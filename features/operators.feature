Feature: Operators change the configuration of a deployment without assistance

  Scenario Outline: A complete operator session for <deployment>
    Given the deployment "<deployment>" without a configuration
    And the file "refused.jsonc":
      """
      {
        "baseVersion": 1,
        "summary": "a note that cannot be carried out",
        "added": {"services": [{"name": "<service>", "tenant": "x", "divided": true, "partitionCount": 100, "maxConnection": 1}]},
        "changed": {"failureDomains": [{"name": "<failure domain>", "out": "yes"}]}
      }
      """
    And the file "contradictory.jsonc":
      """
      {
        "baseVersion": 0,
        "summary": "a note that contradicts itself",
        // The number of partitions of a service cannot be changed.
        "changed": {"services": [{"name": "<service>", "partitionCount": 512}]},
        "withdrawn": {"services": ["<service>", "<service>s"]}
      }
      """
    And the file "careful.jsonc":
      """
      {"baseVersion": 1, "summary": "start more gently", "changed": {"services": [{"name": "<service>", "coldConcurrency": 3}]}}
      """
    When the operator runs:
      """
      $ buckthornpoint history
      $ buckthornpoint apply examples/<deployment>.jsonc --check
      $ buckthornpoint apply examples/<deployment>.jsonc --wait
      """
    And every partition is owned by one VM
    And the operator runs:
      """
      $ buckthornpoint status
      $ buckthornpoint apply refused.jsonc
      $ buckthornpoint apply contradictory.jsonc
      $ buckthornpoint apply careful.jsonc --wait
      $ buckthornpoint apply careful.jsonc
      $ buckthornpoint explain --service <service> --key 17
      $ buckthornpoint explain --service <service>x --key 17
      """
    And the table service becomes unavailable
    And the operator runs:
      """
      $ buckthornpoint failure-domain out <failure domain>
      """
    And the table service becomes available again
    And the operator runs:
      """
      $ buckthornpoint failure-domain out <failure domain>x
      $ buckthornpoint failure-domain out <failure domain> --wait
      $ buckthornpoint failure-domain out <failure domain>
      $ buckthornpoint status
      $ buckthornpoint failure-domain back <failure domain> --wait
      $ buckthornpoint vm stop <service>-1 --wait
      $ buckthornpoint vm declare-dead <service>-2
      $ buckthornpoint vm back <service>-1 --wait
      $ buckthornpoint history
      """
    Then the session matches the golden file "operators-<deployment>.txt"

    Examples:
      | deployment | service   | failure domain |
      | medoplech  | sklad     | zilina         |
      | kartonpont | katalogus | szeged         |

  Scenario: When two operators apply changes concurrently, one is accepted and the other is informed of the conflicting change
    Given the deployment "medoplech" without a configuration
    And the file "anna.jsonc":
      """
      {"baseVersion": 0, "summary": "note of anna", "added": {"failureDomains": [{"name": "domain-of-anna"}]}}
      """
    And the file "bela.jsonc":
      """
      {"baseVersion": 0, "summary": "note of bela", "added": {"failureDomains": [{"name": "domain-of-bela"}]}}
      """
    When "anna" and "bela" run concurrently, each through a different node:
      """
      buckthornpoint apply <operator>.jsonc
      """
    Then the session matches the golden file "operators-race.txt"
