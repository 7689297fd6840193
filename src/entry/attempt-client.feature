Feature: What an entry takes an agent's answer for
  An attempt has ended, or was refused, only when its agent says so in an event of its own. Whatever else comes from the agent's
  address, the entry asks further: the agent may be gone, and something else may answer there.

  Scenario: The stream of an attempt ends
    # Guards against an answer that passes for whole since its connection ended in order.
    Given an agent whose answers a scenario writes
    Then an entry that begins an attempt takes its answers for this:
      | answer                            | taken for | chunks |
      | 200, chunks and an end            | end       | 2      |
      | 200, chunks and an end, then more | end       | 2      |
      | 200, a refusal                    | refused   | 0      |
      | 200, chunks and a failure         | failed    | 2      |
      | 200, chunks, ended                | lost      | 2      |
      | 200, chunks, ended within an end  | lost      | 2      |
      | 200, an end that can not be read  | lost      | 2      |
      | 200, chunks, reset                | lost      | 2      |
      | 200, a chunk left out             | lost      | 1      |
      | 200, an event of another kind     | lost      | 0      |
      | 200, another kind of body         | lost      | 0      |
      | 200 without a body                | lost      | 0      |
      | 200 and nothing more              | lost      | 0      |
      | 204                               | lost      | 0      |
      | 404                               | noStream  | 0      |
      | 500                               | lost      | 0      |
