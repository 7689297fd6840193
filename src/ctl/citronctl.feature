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

  Scenario: The entry is lost after it accepted a job
    Given an entry that loses its first answer to a job
    When a job of 2 items is submitted by citronctl
    Then citronctl prints "batch_1"
    And the entry was asked twice and holds 1 job

  Scenario: The results of a job, then what failed
    Given an entry that loses its first answer to a job
    When the results of "batch_1" are read by citronctl
    Then citronctl prints the lines "done 1, done 2, failed 3"
