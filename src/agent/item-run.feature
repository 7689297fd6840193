Feature: The result of a batch item is one text
  An item is taken back for online work, or its engine is lost, and it runs again. What the first run brought stays only where
  the next run is asked to go on from it, and an answer that has come to its end is not gone on with.

  Scenario: The first run of an item ends before its answer is whole
    # Guards against a result in which a piece stands twice or is missing, since the pieces of two runs were put together.
    Then these are the results of items whose first run brings something and ends:
      | the first run brings         | and is    | the next goes on from | result             |
      | a role                       | preempted |                       | do BRAKE now       |
      | a text                       | preempted | do BRAKE              | do BRAKE now       |
      | a text                       | lost      | do BRAKE              | do BRAKE now       |
      | all but the end              | preempted |                       | do BRAKE now       |
      | all but the end              | lost      |                       | do BRAKE now       |
      | a reasoning                  | preempted |                       | R1 R2 do BRAKE now |
      | a tool call                  | preempted |                       | book(left rear)    |
      | log probabilities            | preempted |                       | do BRAKE now(3)    |
      | those of a text              | preempted |                       | do BRAKE now(3)    |
      | a refusal                    | preempted |                       | I can not say      |
      | a refusal                    | lost      |                       | I can not say      |
      | one of two choices           | preempted |                       | left / right       |
      | a part of one of two choices | lost      |                       | left / right       |
