@crowd
Feature: Clients of entries and agents that do not behave
  Clients send what they are not to send, send it without end, and read no answer. The process that they reach goes on,
  stays within the memory and the descriptors of its VM, and a caller's request is served afterwards.

  Scenario Outline: <connections> connections to the <program>: <form>
    # Guards against a process that a crowd of clients ends, fills or stops.
    Given an entry and an agent on VMs with 256 MB and 4096 descriptors
    When <connections> connections to the <program> send "<form>"
    Then the <program> lives, and has stayed within its VM's limits
    And a caller's request is served

    Examples:
      | program | connections | form                           |
      | entry   | 8           | a path that no route has       |
      | entry   | 64          | HTTP/1.1 without a host        |
      | entry   | 8           | ordinary requests              |
      | entry   | 8           | a body in chunks of one byte   |
      | entry   | 300         | bodies of 1 MB                 |
      | entry   | 64          | mixed forms                    |
      | entry   | 3000        | nothing                        |
      | agent   | 8           | a path that no route has       |
      | agent   | 8           | ordinary requests              |
      | agent   | 8           | a body in chunks of one byte   |
      | agent   | 300         | bodies of 1 MB                 |
      | agent   | 64          | mixed forms                    |
