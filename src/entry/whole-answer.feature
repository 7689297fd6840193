Feature: A caller receives the whole answer to its own request
  A kiosk reads an answer token by token. In the middle, the agent or its engine dies, or the connection to it goes silent
  for good; new connections may work or not. The entry takes the stream up on a new connection, or has another replica
  go on at the token where it stopped. The caller sees each token once, in order, and the usage of the whole answer.

  Scenario Outline: <trouble> in the middle of a stream
    Given a relayed fleet with <replicas> replicas
    When a caller reads a stream of 120 tokens and after 20 tokens <trouble>
    Then the caller has the 120 tokens that the prompt asks for, and their usage
    And the engines were given the request <runs> times

    Examples:
      | trouble                                      | replicas | runs |
      | its agent is killed                          | 2        | 2    |
      | its agent's connections are cut              | 2        | 1    |
      | its agent's connections go silent            | 2        | 1    |
      | nothing reaches its agent any more           | 2        | 2    |
      | an old stream comes back while another runs  | 2        | 2    |
      | its engine crashes and starts again          | 1        | 2    |
      | its engine crashes and starts again          | 2        | 2    |

  Scenario: A caller who did not ask for a stream
    Given a relayed fleet with 2 replicas
    When a caller waits for an answer of 120 tokens whose agent is killed after it began
    Then the caller has the 120 tokens that the prompt asks for, and their usage

  Scenario: A caller that stops reading
    A board loses its way in the middle of a long answer and reads on later. The entry must not keep what the board does not
    read: it lets the stream stand still, so that memory stays bounded, and nothing of the answer is missing afterwards.
    Given a relayed fleet with 1 replicas
    When a caller stops reading a stream of 70000 tokens until the agent has it whole
    Then the entry has held back less than 600000 bytes for it
    And the caller reads the 70000 tokens to their end

  Scenario: A caller that goes away
    Given a relayed fleet with 1 replicas
    When a caller closes its connection after 20 of 2000 tokens
    Then the engine cancels the request

  Scenario Outline: An engine's answer holds <event>, stream <stream>
    The event in the middle carries a word of the answer, or nothing that can be read. A caller that got the rest under an end
    marker would take a part for the whole: a chunk over two lines is put on one, anything else ends the run as lost.
    Given a relayed fleet whose engines send <event> in the middle
    When the engines get a request with stream <stream> and a deadline of 10 s
    Then the caller is told "<told>"

    Examples:
      | event                  | stream | told            |
      | a chunk over two lines | true   | do BRAKE now    |
      | a chunk over two lines | false  | do BRAKE now    |
      | an event without JSON | true   | backend_failed  |
      | an event without JSON | false  | backend_failed  |
      | an error               | true   | backend_failed  |
      | an error               | false  | backend_failed  |

  Scenario: A reasoning model's answer that was not asked for as a stream
    Before its text the engine streams a reasoning, in a field that is not in the API as it was written.
    Given a relayed fleet whose 1 engines reason before they answer
    When the engines get a request with stream false and a deadline of 10 s
    Then the caller reads the reasoning "R1 R2 " and the text "A1 A2"

  Scenario Outline: A reasoning model is lost in its reasoning, stream <stream>
    The engine's resume point is text alone. What a caller has of the reasoning would come a second time from another engine,
    so its stream ends with an error; a caller that has nothing yet gets the whole answer of another.
    Given a relayed fleet whose 2 engines reason before they answer, the first run lost in its reasoning
    When the engines get a request with stream <stream> and a deadline of 10 s
    Then the caller reads the reasoning "R1 R2 " and the text "<text>"

    Examples:
      | stream | text  |
      | true   |       |
      | false  | A1 A2 |
