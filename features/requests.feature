Feature: Requests of callers are executed at most once and end with an answer or a typed failure

  Scenario: Callers of Medoplech send reservations, invoices and lookups through any node
    Given callers of the deployment "medoplech"
    When they send:
      """
      reservation-1 through VM 1: POST rezervacie /reservations, body lot-7
      reservation-1 through VM 5: POST rezervacie /reservations, body lot-7
      reservation-1 through VM 9: POST rezervacie /reservations, body lot-8
      reservation-2 through VM 2: POST rezervacie /reservations, buckthornpoint-attempt=1, body lot-9
      invoice-1 through VM 3: POST fakturacia /invoices, buckthornpoint-key=farm-3, body weighing-12
      invoice-1 through VM 4: POST fakturacia /invoices, buckthornpoint-key=farm-4, body weighing-12
      stock-1 through VM 6: POST sklad /lots/7, buckthornpoint-key=lot-7, body add
      stock-1 through VM 7: POST sklad /lots/7, buckthornpoint-key=lot-7, body add
      lookup-1 through VM 8: GET sklad /lots/7, buckthornpoint-key=lot-7
      lookup-2 through VM 10: GET rezervacie /reservations/lot-7
      """
    And they send:
      """
      wrong-1 through VM 1: POST sklad /lots/7, buckthornpoint-deadline-ms=soon, buckthornpoint-class=urgent, buckthornpoint-request-id=order-7
      wrong-2 through VM 2: GET sklady /lots/7
      wrong-3 through VM 3: GET /lots/7
      wrong-4 through VM 4: GET sklad /grades, buckthornpoint-key=lot-7, buckthornpoint-class=interactive
      """
    Then the responses match the golden file "requests-medoplech.txt"
