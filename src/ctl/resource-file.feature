Feature: Resource files that are wrong
  An operator applies a file with mistakes in it. Nothing of the file is applied, and all mistakes are told
  by line and key. Half a file in force would leave a served model that refers to a version nobody wrote.

  Scenario: Every mistake of every resource is told
    When an operator validates this file
      """
      [
        {"apiVersion": "citronyard/v1", "kind": "ServedModel", "metadata": {"name": "tyre-scribe"}, "spec": {"version": "v1", "replica": 13}},
        {"apiVersion": "citronyard/v1", "kind": "OnlineService", "metadata": {"name": "Gate"}, "spec": {"timeoutMs": "5s"}},
        {"apiVersion": "citronyard/v1", "kind": "Servedmodel", "metadata": {"name": "x"}, "spec": {}},
        {"apiVersion": "citronyard/v1", "kind": "BackendServer", "metadata": {"name": "vm-1"}, "spec": {"type": "service"}},
      ]
      """
    Then the file has these problems
      | 2 | [0].spec.replica      |
      | 3 | [1].metadata.name     |
      | 3 | [1].spec.timeoutMs    |
      | 4 | [2].kind              |
      | 5 | [3].spec.service      |

  Scenario: The same resource twice in one file
    When an operator validates this file
      """
      [
        {"apiVersion": "citronyard/v1", "kind": "ModelVersion", "metadata": {"name": "v1"}, "spec": {"weights": "a"}},
        {"apiVersion": "citronyard/v1", "kind": "ModelVersion", "metadata": {"name": "v1"}, "spec": {"weights": "b"}},
      ]
      """
    Then the file has these problems
      | 3 | [1].metadata.name |

  Scenario: API keys in a file are kept as hashes only
    When an operator validates this file
      """
      {"apiVersion": "citronyard/v1", "kind": "ClientAccount", "metadata": {"name": "nodibandh"}, "spec": {"share": 2, "apiKeys": ["abc"]}}
      """
    Then the resource's spec is
      """
      {"share": 2, "keySha256": ["ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"]}
      """

  Scenario: What others refer to is applied first
    When an operator validates this file
      """
      [
        {"apiVersion": "citronyard/v1", "kind": "ServedModel", "metadata": {"name": "tyre-scribe"}, "spec": {"version": "v1"}},
        {"apiVersion": "citronyard/v1", "kind": "ModelVersion", "metadata": {"name": "v1"}, "spec": {"weights": "a"}},
      ]
      """
    Then the resources are applied as "ModelVersion, ServedModel"
