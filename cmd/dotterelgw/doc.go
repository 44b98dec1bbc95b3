// Command dotterelgw is the database proxy.
package main
