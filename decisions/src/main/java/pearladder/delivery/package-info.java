/**
 * The rules of delivery: whether something may be sent, repeated, answered, closed or ended now. They hold whatever the
 * routing policy decides and whatever fails. No I/O, no threads, no clock: the time comes in with each question.
 */
package pearladder.delivery;
