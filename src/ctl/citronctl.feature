Feature: citronctl on the command line
  An operator's script reads output and exit codes. Bad input ends with a sentence and a code, never a stack trace,
  and a job that is submitted again because its answer got lost is one job: a doubled note means a tyre billed twice.

  Scenario Outline: Bad input
    When citronctl is run with "<arguments>"
    Then citronctl exits with <code>, prints no stack trace and tells: <message>

    Examples:
      | arguments                                        | code | message                                      |
      |                                                  | 64   | No command specified                         |
      | fetch                                            | 64   | Invalid command: fetch                       |
      | get                                              | 64   | Insufficient arguments                       |
      | get lorry                                        | 64   | "lorry" is not a kind of resource            |
      | get models                                       | 64   | give the address of the object API           |
      | get models --object-api host:80                  | 64   | wants "ip:port" with an IP number            |
      | get models --nonsense                            | 64   | Unknown option: --nonsense                   |
      | get models -o yaml                               | 64   | --output wants table or json                 |
      | apply                                            | 64   | give the file with -f FILE                   |
      | apply -f no-such-file.jsonc                      | 66   | no-such-file.jsonc: there is no such file    |
      | get models --settings package.json               | 78   | name: is not a known key                     |
      | validate -f package.json                         | 78   | kind: wants one of                           |
      | job submit -f no-such-file.jsonl                 | 66   | no-such-file.jsonl: cannot be read (ENOENT)  |
      | job submit -f package.json --due-hours soon      | 64   | --due-hours wants a whole number             |
      | get models --object-api CLOSED                   | 69   | the object API does not answer               |
      | job cancel batch_1 --account-key k --entry CLOSED | 69   | does not answer                             |

  Scenario: A resource from its file to its deletion
    Given the object API of a platform
    When citronctl applies this file
      """
      {"apiVersion": "citronyard/v1", "kind": "ServedModel", "metadata": {"name": "tyre-scribe"}, "spec": {"version": "v7", "replicas": 13}}
      """
    Then citronctl prints "ServedModel tyre-scribe created"
    When citronctl runs "get models" there
    Then citronctl prints the lines "NAME         GENERATION  IN-FORCE  VERSION  REPLICAS  CONDITIONS, tyre-scribe  1           -         v7       13        -"
    When citronctl runs "describe model tyre-scribe -o json" there
    Then citronctl prints JSON whose "spec.replicas" is 13
    When citronctl runs "status -o json" there
    Then citronctl prints JSON whose "counts.ServedModel" is 1
    When citronctl runs "delete model tyre-scribe" there
    Then citronctl prints "ServedModel tyre-scribe deleted"
    When citronctl runs "get model tyre-scribe" there
    Then citronctl exits with 67, prints no stack trace and tells: ServedModel tyre-scribe: does not exist

  Scenario: The entry is lost after it accepted a job
    Given an entry that loses its first answer to a job
    When a job of 2 items is submitted by citronctl
    Then citronctl prints "batch_1"
    And the entry was asked twice and holds 1 job

  Scenario: The results of a job, then what failed
    Given an entry that loses its first answer to a job
    When the results of "batch_1" are read by citronctl
    Then citronctl prints the lines "done 1, done 2, failed 3"
